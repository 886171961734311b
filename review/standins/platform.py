"""Stand-ins for the platform's store and cloud API."""

import asyncio
import json
import typing

from . import web

Json = typing.Any
ROOT = "/-/objects/"


class Store:
    """Objects by kind and name, with revisions and watches."""

    def __init__(self) -> None:
        self._objects: dict[str, dict[str, Json]] = {}
        self._events: list[tuple[int, str, Json]] = []
        self._revision = 1
        self._changed = asyncio.Condition()
        self._server = web.Server(self._handle)

    async def listen(self, host: str, port: int) -> None:
        await self._server.listen(host, port)

    def get(self, kind: str, name: str) -> Json | None:
        """An object; None if there is none."""
        return self._objects.get(kind, {}).get(name)

    async def put(self, kind: str, name: str, spec: Json) -> None:
        """Write an object as the operator or a runner does."""
        await self._write(kind, name, spec)

    async def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self._objects.get(kind, {}).pop(name, None)
        if found is not None:
            await self._record(kind, found, True)

    async def _handle(
        self,
        request: web.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        kind, _, name = request.path.removeprefix(ROOT).partition("/")
        if request.method == "GET" and not name:
            if "watch" in request.query:
                answer = await self._watch(kind, request.query)
            else:
                answer = self._list(kind)
        elif request.method == "GET":
            found = self.get(kind, name)
            answer = web.encode_json(404 if found is None else 200, found)
        else:
            answer = await self._change(request, kind, name)
        writer.write(answer)

    def _list(self, kind: str) -> bytes:
        entries = list(self._objects.get(kind, {}).values())
        return web.encode_json(
            200,
            {"entries": entries, "has_more": False, "as_of": self._revision},
        )

    async def _watch(self, kind: str, query: dict[str, str]) -> bytes:
        after = int(query["watch"])
        wait_s = int(query.get("wait_ms", "0")) / 1000.0

        def events() -> list[Json]:
            return [
                event
                for revision, name, event in self._events
                if revision > after and name == kind
            ]

        async with self._changed:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait_for(lambda: bool(events()))
            except TimeoutError:
                pass
        return web.encode_json(
            200, {"events": events(), "as_of": self._revision}
        )

    async def _change(
        self, request: web.Request, kind: str, name: str
    ) -> bytes:
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata") or {}
        if request.method == "POST":
            name = metadata["name"]
            found = self.get(kind, name)
            if found is not None:
                return web.encode_json(409, found)
            return web.encode_json(
                200, await self._write(kind, name, body.get("spec"))
            )
        name, _, part = name.partition("/")
        found = self.get(kind, name)
        if found is None:
            return web.encode_json(404, None)
        wanted = metadata.get("revision") or request.query.get("revision")
        if wanted and int(wanted) != found["metadata"]["revision"]:
            return web.encode_json(409, found)
        if request.method == "DELETE":
            await self.delete(kind, name)
            return web.encode_json(200, found)
        field = "status" if part == "status" else "spec"
        return web.encode_json(
            200, await self._write(kind, name, body.get(field), field)
        )

    async def _write(
        self, kind: str, name: str, value: Json, field: str = "spec"
    ) -> Json:
        found = self.get(kind, name)
        if found is not None and found[field] == value:
            return found
        metadata = {
            "name": name,
            "revision": self._revision + 1,
            "created": self._revision + 1,
            "finalizers": [],
            "deletion_pending": False,
        }
        stored = {"metadata": metadata, "spec": None, "status": None}
        if found is not None:
            metadata["created"] = found["metadata"]["created"]
            stored.update(spec=found["spec"], status=found["status"])
        stored[field] = value
        self._objects.setdefault(kind, {})[name] = stored
        await self._record(kind, stored, False)
        return stored

    async def _record(self, kind: str, stored: Json, deleted: bool) -> None:
        self._revision += 1
        event = {"object": stored, "deleted": deleted}
        self._events.append((self._revision, kind, event))
        async with self._changed:
            self._changed.notify_all()


class Cloud:
    """Accepts usage reports and orders, and checks fencing numbers."""

    def __init__(self) -> None:
        self._highest: dict[str, int] = {}
        self._server = web.Server(self._handle)

    async def listen(self, host: str, port: int) -> None:
        await self._server.listen(host, port)

    async def _handle(
        self,
        request: web.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        fencing = int(request.headers["fencing-token"])
        document = json.loads(request.body)
        subject = request.path
        if request.path == "/scale":
            subject += f" {document['service']} {document['zone']}"
        is_old = fencing < self._highest.get(subject, 0)
        if not is_old:
            self._highest[subject] = fencing
        writer.write(web.encode_json(409 if is_old else 200, {}))
