"""The part of a VM's records that is about crashes of runners.

Records are the datagrams by which VMs tell each other their state several
times a second.
"""

from .. import validation

#: How long a crash or a completed call is repeated in each record, in
#: seconds. One record in five may be lost, but hardly ever 15 in a row.
RECORD_REPEAT_S = 3.0
#: The greatest numbers of suspects that a record lists for one crash, and of
#: crashes that it lists. The limits keep a record a small datagram of at most
#: 4 KB, at 18 bytes for each suspect.
MAX_SUSPECTS_PER_CRASH = 48
MAX_CRASHES_PER_RECORD = 4
#: The greatest number of blocked calls that a record lists.
MAX_BLOCKED_PER_RECORD = 32

#: A crash as it stands in a record: runner, data centre, age in seconds,
#: whether the runner had announced its end, and the suspects' fingerprints.
CrashEntry = tuple[str, str, float, bool, list[str]]
#: The crash part of a record: crashes, fingerprints of suspects that were
#: answered, and the seconds left for each blocked fingerprint.
CrashRecord = tuple[list[CrashEntry], list[str], dict[str, float]]
#: Checks that a value received from a peer has that shape.
is_crash_record = validation.is_tuple_of(
    validation.is_list_of(
        validation.is_tuple_of(
            validation.is_non_empty_string,
            validation.is_string,
            validation.is_non_negative_number,
            validation.is_bool,
            validation.is_list_of(validation.is_string),
        )
    ),
    validation.is_list_of(validation.is_string),
    validation.is_map_of(
        validation.is_string, validation.is_non_negative_number
    ),
)
