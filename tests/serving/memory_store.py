"""An in-memory store with injectable faults, and a recording cloud API."""

from apricotlever.serving import duty_lease
from apricotlever.serving import store


class MemoryStore:
    """Stores objects by kind and name; all VMs of a test share it."""

    def __init__(self, durable=True):
        self.durable = durable
        self.objects = {}
        self.revision = 10
        self.writes = 0
        #: Errors for the next calls in order; with None a call succeeds.
        self.errors = []
        #: Whether a write that fails with `store.Unanswered` takes effect.
        self.applies_unanswered = False
        self.refuses_writes = False

    def _check(self):
        """Raise the next injected error.

        :returns: an error that the write raises once it has taken effect;
            None if the call succeeds.
        """
        error = self.errors.pop(0) if self.errors else None
        if error is not None and not (
            self.applies_unanswered and error is store.Unanswered
        ):
            raise error("injected fault")
        return error

    async def get(self, kind, name):
        """Get an object; None if it does not exist."""
        self._check()
        return self.objects.get((kind, name))

    async def create(self, kind, name, spec):
        """Create an object."""
        error = self._check()
        if (kind, name) in self.objects:
            raise store.Conflict(name)
        return self._put(kind, name, spec, error)

    async def replace(self, kind, name, spec, revision):
        """Replace an object; an unchanged object keeps its revision."""
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
        """List all objects of a kind."""
        found = [o for (k, _), o in self.objects.items() if k == kind]
        return store.Page(found, False, self.revision)

    async def delete(self, kind, name):
        """Delete an object."""
        self.objects.pop((kind, name), None)

    def _put(self, kind, name, spec, error):
        if self.refuses_writes:
            raise store.NotDone("injected fault")
        self.revision += 1
        self.writes += 1
        stored = store.StoredObject(name, self.revision, spec, None)
        self.objects[kind, name] = stored
        if error is not None:
            raise error("answer lost")
        return stored


class MemoryCloud:
    """Accepts reports and records them.

    Calls with a fencing number below the highest one so far are rejected.
    """

    def __init__(self):
        self.accepted_reports = []
        self.highest_fencing = 0
        self.remaining_busy_answers = 0

    async def send(self, path, body, fencing):
        """Accept a report if its fencing number is not outdated."""
        if self.remaining_busy_answers:
            self.remaining_busy_answers -= 1
            raise duty_lease.CloudBusy("injected fault")
        if fencing < self.highest_fencing:
            return False
        self.highest_fencing = fencing
        self.accepted_reports.append((path, body, fencing))
        return True


class PlainReportDialect:
    """A dialect that sends reports without encoding them."""

    def usage_report_request(self, window, counts):
        """The path and the body of a report."""
        return f"/report/{window}", dict(counts)
