"""Streams that go on after their connection, runner or entry VM is gone.

A stream is a response of numbered events. It goes on only at a runner of the
service and of the software version that began it, its origin. A caller that
takes its stream up again may come to any VM. So the VM that begins a stream
records its origin at two others, the stream's keepers, which every VM finds by
the stream's key (:mod:`.keeper_ring`, :mod:`.origin_table`). Without a record,
the directory of runners may prove that only one version has served
(:mod:`.version_history`).
"""
