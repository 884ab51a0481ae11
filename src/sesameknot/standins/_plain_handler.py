"""Handler of a plain service's calls."""

import asyncio

from tornado.iostream import StreamClosedError

from sesameknot.standins._answer_text import service_receipt
from sesameknot.standins._batch import DroppedError
from sesameknot.standins._endpoint_handlers import EndpointHandler
from sesameknot.standins._execution_record import Execution


class PlainHandler(EndpointHandler):
    """Execute any call and answer with a receipt."""

    async def _serve(self) -> None:
        self.engine.record.arrived_count += 1
        if self.refuse_if_unavailable():
            return
        text = self.request.body.decode("utf-8", "replace")
        if any(crash in text for crash in self.engine.switches.crash_texts):
            self.engine.fall_over()
            return
        delayed = self.engine.switches.delay.take()
        if delayed:
            await asyncio.sleep(self.engine.switches.delay.before_s)
        execution = self.new_execution()
        try:
            await self._run_call(execution, delayed=delayed)
        except (DroppedError, StreamClosedError):
            self.engine.record.end(execution, "dropped", sent_whole=False)
            self.stream.close()

    async def _run_call(self, execution: Execution, *, delayed: bool) -> None:
        generation = await self.engine.enter(0)
        try:
            await self.engine.work(self.engine.options.token_s, generation)
        finally:
            self.engine.leave(generation)
        if delayed:
            await asyncio.sleep(self.engine.switches.delay.after_s)
        if self.engine.switches.drop_answer.take():
            raise DroppedError("answer dropped", step="answer")
        await self.engine.connections.may_write(self.stream)
        self.put_load_headers()
        receipt = service_receipt(
            execution.request_id, execution.path, self.request.body
        )
        await self.finish(
            {
                "request_id": execution.request_id,
                "path": execution.path,
                "method": execution.method,
                "receipt": receipt,
            }
        )
        self.engine.record.end(execution, "done", sent_whole=True)

    get = post = put = delete = patch = _serve
