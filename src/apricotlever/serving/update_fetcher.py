"""Fetches from peers what the store did not deliver to this VM in time.

Each status record names the versions of its VM's configuration and runner
directory. If a peer has a newer one for a while, this VM fetches it there.
"""

import typing

from .. import clock as clocks
from .. import logs
from ..vms import catch_up
from ..vms import vm_records

from . import local_vm
from . import peer_http
from . import runner_directory as directories
from . import task_supervisor

#: How long this VM waits for the store to deliver an update that a peer has
#: already, in seconds, before it fetches the update from the peer.
STORE_GRACE_S = 0.15
#: How long the runner directories of two VMs may differ, in seconds, before
#: one VM fetches the whole directory of the other. Within this time, the same
#: change usually reaches both.
DIRECTORY_MISMATCH_S = 0.3
#: How long a VM of a large fleet waits for VMs that it compares directories
#: with, such as its aggregator, to have an update, in seconds, before it
#: fetches the update from any VM. Otherwise all VMs would send requests to the
#: few that have the update first.
AGGREGATOR_GRACE_S = 1.0
#: Maximum number of concurrent fetches by kind of data, each from a different
#: VM; it is 1 for other kinds. The changes of runners are short, so several
#: fetches cost little.
MAX_FETCHES = {"runners": 3}
#: A revision before the first one, to request the whole runner directory.
ALL_REVISIONS = -1


class UpdateFetcher:
    """Fetches configurations and runner entries that this VM is missing.

    :param local: this VM.
    :param directory: this VM's runner directory.
    :param running: runs the fetches.
    :param own_host: the address by which other VMs know this one.
    """

    __slots__ = (
        "_client",
        "_directory",
        "_fetches",
        "_local",
        "_tasks",
        "_timers",
    )

    def __init__(
        self,
        clock: clocks.Clock,
        local: local_vm.LocalVm,
        directory: directories.RunnerDirectory,
        running: task_supervisor.TaskSupervisor,
        own_host: str,
    ) -> None:
        self._local = local
        self._directory = directory
        self._tasks = running
        self._client = peer_http.PeerClient(own_host)
        self._timers = catch_up.CatchUpTimers(clock)
        self._fetches = catch_up.RunningFetches(clock)

    def check(
        self,
        record: vm_records.VmRecord,
        follows_store: bool,
        sources: typing.Container[str] | None,
    ) -> None:
        """Fetch updates that a peer has and this VM lacks for too long.

        :param record: the peer's status record, which names the versions of
            its configuration and runner directory.
        :param follows_store: whether this VM gets updates from the store.
        :param sources: VMs that this VM compares its runner directory with;
            None for all.
        """
        grace_s = STORE_GRACE_S if follows_store else 0.0
        compared = sources is None or record.vm in sources
        if not compared:
            grace_s = AGGREGATOR_GRACE_S
        directory = self._directory
        self._fetch_when_due(
            record.configuration > self._local.version,
            "configuration",
            record,
            grace_s,
        )
        self._fetch_when_due(
            record.directory > directory.revision, "runners", record, grace_s
        )
        self._fetch_when_due(
            compared and record.runners != directory.checksum,
            "all_runners",
            record,
            DIRECTORY_MISMATCH_S,
        )

    def _fetch_when_due(
        self,
        is_outdated: bool,
        subject: str,
        record: vm_records.VmRecord,
        grace_s: float,
    ) -> None:
        address = record.peer_address
        due = self._timers.should_ask(
            subject,
            record.vm,
            is_outdated,
            grace_s,
            is_outdated
            and self._fetches.may_begin(
                subject, address, MAX_FETCHES.get(subject, 1)
            ),
        )
        if due:
            self._fetches.begin(subject, address)
            self._tasks.spawn(self._fetch(subject, address))

    async def _fetch(self, subject: str, address: str) -> None:
        is_answered = False
        try:
            if subject == "configuration":
                is_answered = await self._fetch_configuration(address)
            else:
                fetch_all = subject == "all_runners"
                is_answered = await self._fetch_runners(
                    address,
                    ALL_REVISIONS if fetch_all else self._directory.revision,
                )
        finally:
            self._fetches.end(subject, address, is_answered)

    async def _fetch_configuration(self, address: str) -> bool:
        version = self._local.version
        spec = await self._client.configuration(address, version)
        if spec is not None and self._local.configure(spec):
            logs.event("fetched_from_peer", what="configuration", peer=address)
        return spec is not None

    async def _fetch_runners(self, address: str, above: int) -> bool:
        changes = await self._client.runners(address, above)
        if changes is not None:
            self._local.runners_changed(
                self._directory.merge_changes(*changes)
            )
        return changes is not None
