"""Handler of orders to a model engine."""

import asyncio
from typing import Any

from sesameknot.standins._endpoint_handlers import EndpointHandler


class OrdersHandler(EndpointHandler):
    """Load or unload a version, or change the role."""

    async def post(self) -> None:
        """Carry out the order and answer with the loaded versions."""
        order = self.json_body()
        if order is None or self._refused_by_fence(order):
            return
        kind = order.get("kind", "")
        if kind == "load":
            await asyncio.sleep(self.engine.options.load_order_s)
            if self._refused_by_fence(order):
                return
            self.engine.versions.add(f"{order.get('model')}/{order.get('version')}")
        elif kind == "unload":
            name = f"{order.get('model')}/{order.get('version')}"
            self.engine.versions.discard(name)
        elif kind == "role":
            self.engine.role = str(order.get("role", "serve"))
        else:
            expected = "load, unload or role"
            self.refuse(400, "invalid_order", f"kind {kind!r}, expected {expected}")
            return
        self.engine.snapshot()
        self.write(
            {
                "versions": sorted(self.engine.versions),
                "role": self.engine.role,
                "fence": self.engine.highest_fence,
            }
        )

    def _refused_by_fence(self, order: dict[str, Any]) -> bool:
        fence = int(order.get("fence", 0))
        if self.engine.options.fencing and fence < self.engine.highest_fence:
            highest = self.engine.highest_fence
            self.refuse(409, "old_fence", f"fence {fence} is older than {highest}")
            return True
        self.engine.highest_fence = max(self.engine.highest_fence, fence)
        return False
