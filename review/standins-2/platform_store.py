"""Stand-ins for the platform: its object store and its cloud API.

Both follow the users' pages. The store is linearizable, loses nothing, and
answers at once unless a test tells it otherwise.
"""

import asyncio
import json
import time
import urllib.parse

from http_server import Reply
from http_server import Request
from http_server import Server

PAGE_ENTRIES = 500


class Store:
    """The metadata store, with one revision counter for all objects."""

    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Condition()
        #: Called before each call; may delay it or return a reply instead.
        self.before = None
        #: Called after each call with its reply; may withhold the reply.
        self.after = None
        self.calls = []
        self.server = Server(self.handle)

    async def start(self, host):
        await self.server.start(host)

    async def put(self, kind, name, spec):
        """Write an object as the operator or a runner does."""
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None and found["spec"] == spec:
            return found
        return await self._store(kind, name, spec, found)

    async def remove(self, kind, name):
        """Remove an object, such as the entry of a runner that has left."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            await self._publish(kind, found, True)

    async def _store(self, kind, name, spec, found, status=None):
        self.revision += 1
        made = found["metadata"]["created"] if found else self.revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": made,
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": status if status is not None else (
                found["status"] if found else None
            ),
        }
        self.objects.setdefault(kind, {})[name] = stored
        await self._publish(kind, stored, False)
        return stored

    async def _publish(self, kind, stored, deleted):
        if deleted:
            self.revision += 1
        self.events.append((self.revision, kind, stored, deleted))
        async with self.changed:
            self.changed.notify_all()

    async def handle(self, request: Request) -> Reply | None:
        self.calls.append((time.time(), request.method, request.target))
        if self.before is not None:
            reply = await self.before(request)
            if reply is not None:
                return reply
        reply = await self._answer(request)
        if self.after is not None:
            return await self.after(request, reply)
        return reply

    async def _answer(self, request: Request) -> Reply:
        path, _, query_text = request.target.partition("?")
        query = dict(urllib.parse.parse_qsl(query_text))
        parts = [urllib.parse.unquote(p) for p in path.split("/")[3:]]
        if not path.startswith("/-/objects/") or not parts:
            return Reply(404, {})
        kind, name = parts[0], parts[1] if len(parts) > 1 else None
        if request.method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            return self._list(kind, query.get("since_revision"))
        objects = self.objects.setdefault(kind, {})
        found = objects.get(name)
        if request.method == "GET":
            return Reply(200, found) if found else Reply(404, {})
        if request.method == "POST":
            return await self._create(kind, json.loads(request.body))
        if found is None:
            return Reply(404, {})
        document = json.loads(request.body) if request.body else {}
        wanted = document.get("metadata", {}).get("revision")
        if wanted is None and "revision" in query:
            wanted = int(query["revision"])
        if wanted is not None and wanted != found["metadata"]["revision"]:
            return Reply(409, found)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return Reply(200, found)
        if len(parts) > 2 and parts[2] == "status":
            return Reply(200, await self._store(
                kind, name, found["spec"], found, document.get("status")
            ))
        if document.get("spec") == found["spec"]:
            return Reply(200, found)
        return Reply(
            200, await self._store(kind, name, document.get("spec"), found)
        )

    async def _create(self, kind, document):
        name = document["metadata"]["name"]
        found = self.objects.setdefault(kind, {}).get(name)
        if found is not None:
            return Reply(409, found)
        return Reply(
            200,
            await self._store(kind, name, document.get("spec"), None),
        )

    def _list(self, kind, after):
        names = sorted(self.objects.get(kind, {}))
        if after is not None:
            names = [n for n in names if n > after]
        page = names[:PAGE_ENTRIES]
        return Reply(200, {
            "entries": [self.objects[kind][n] for n in page],
            "has_more": len(names) > len(page),
            "as_of": self.revision,
        })

    async def _watch(self, kind, query):
        since = int(query["watch"])
        wait_s = min(30.0, int(query.get("wait_ms", 0)) / 1000)
        deadline = time.monotonic() + wait_s
        while True:
            found = [
                {"object": stored, "deleted": deleted}
                for revision, of, stored, deleted in self.events
                if of == kind and revision > since
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return Reply(200, {"events": found, "as_of": self.revision})
            async with self.changed:
                try:
                    async with asyncio.timeout(left):
                        await self.changed.wait()
                except TimeoutError:
                    pass


class Cloud:
    """The cloud API: duties of one holder, checked by their numbers."""

    def __init__(self):
        self.calls = []
        self.highest = {}
        self.server = Server(self.handle)

    async def start(self, host):
        await self.server.start(host)

    async def handle(self, request: Request) -> Reply:
        body = json.loads(request.body or b"{}")
        fence = int(request.header("fencing-token") or 0)
        holder = request.header("duty-holder")
        if request.target == "/usage":
            subject = "usage"
        else:
            subject = f"{body.get('service')} {body.get('zone')}"
        refused = fence < self.highest.get(subject, 0)
        self.highest[subject] = max(fence, self.highest.get(subject, 0))
        self.calls.append(
            (time.time(), request.target, holder, fence, body, refused)
        )
        return Reply(409 if refused else 200, {})
