"""A store in memory, with the faults of a real one."""

from apricotlever.serving import duties
from apricotlever.serving import store


class MemoryStore:
    """Objects by kind and name; all VMs of a test share it."""

    def __init__(self, durable=True):
        self.durable = durable
        self.objects = {}
        self.revision = 10
        self.writes = 0
        #: Errors for the next calls, oldest first; None lets one through.
        self.errors = []
        #: Whether a call that fails as unanswered takes effect all the same.
        self.late = False

    def _check(self):
        error = self.errors.pop(0) if self.errors else None
        if error is not None and not (self.late and error is store.Unanswered):
            raise error("a fault of the test")
        return error

    async def get(self, kind, name):
        """One object."""
        self._check()
        return self.objects.get((kind, name))

    async def create(self, kind, name, spec):
        """Create an object."""
        error = self._check()
        if (kind, name) in self.objects:
            raise store.Conflict(name)
        return self._put(kind, name, spec, error)

    async def replace(self, kind, name, spec, revision):
        """Replace an object; one that does not change keeps its revision."""
        error = self._check()
        known = self.objects.get((kind, name))
        if known is None:
            raise store.NotFound(name)
        if revision is not None and known.revision != revision:
            raise store.Conflict(name)
        if known.spec == spec:
            return known
        return self._put(kind, name, spec, error)

    async def list_all(self, kind, stale=False):
        """All of a kind."""
        found = [o for (k, _), o in self.objects.items() if k == kind]
        return store.Page(found, False, self.revision)

    async def delete(self, kind, name):
        """Remove an object."""
        self.objects.pop((kind, name), None)

    def _put(self, kind, name, spec, error):
        self.revision += 1
        self.writes += 1
        stored = store.StoredObject(name, self.revision, spec, None)
        self.objects[kind, name] = stored
        if error is not None:
            raise error("the answer is lost")
        return stored


class MemoryCloud:
    """Takes reports and remembers them."""

    def __init__(self):
        self.sent = []
        self.highest = 0
        self.busy = 0

    async def send(self, path, body, fencing):
        """Take a report under a fencing number."""
        if self.busy:
            self.busy -= 1
            raise duties.CloudBusy("a fault of the test")
        if fencing < self.highest:
            return False
        self.highest = fencing
        self.sent.append((path, body, fencing))
        return True


class PlainDocuments:
    """Reports as they are."""

    def report_call(self, window, counts):
        """Path and body of a report."""
        return f"/report/{window}", dict(counts)
