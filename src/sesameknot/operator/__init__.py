"""The operators' tool: commands, changes to objects, and the routers' answers."""
