"""Fakes of routers for tests of the operators' tools."""

import dataclasses

import msgspec
from tornado.web import Application, RequestHandler

from sesameknot.protocol.messages import VersionStats
from sesameknot.protocol.operator_api import PushedObject, RouterStatus

TOKEN = "operator-token"


class FakeRouter:
    """A router's operator API; with ``ignores_pushes``, pushed objects are dropped."""

    def __init__(self, host_id, *, ignores_pushes=False, draining=False):
        self.status = RouterStatus(
            host_id=host_id, incarnation=1, verdict="fresh", draining=draining
        )
        self.ignores_pushes = ignores_pushes
        self.objects: dict[str, PushedObject] = {}
        self.traffic: list[VersionStats] = []
        self.status_calls = 0
        self.down = False
        self.application = Application(
            [(r"/operator/(\w+)", _Handler, {"router": self})],
            log_function=lambda handler: None,
        )


class _Handler(RequestHandler):
    def initialize(self, router):
        self.router = router

    def prepare(self):
        if self.router.down:
            self.send_error(503)
            return
        if self.request.headers.get("Authorization") != f"Bearer {TOKEN}":
            self.send_error(401)

    def get(self, name):
        if name == "traffic":
            self.finish(msgspec.json.encode(self.router.traffic))
            return
        self.router.status_calls += 1
        versions = {key: o.version for key, o in self.router.objects.items()}
        status = dataclasses.replace(self.router.status, versions=versions)
        self.finish(msgspec.json.encode(status))

    def post(self, name):
        if self.router.ignores_pushes:
            return
        for pushed in msgspec.json.decode(self.request.body, type=list[PushedObject]):
            self.router.objects[pushed.key] = pushed
