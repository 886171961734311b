"""Exit codes of the ``apricotlever`` command."""

SUCCESS = 0
FAILURE = 1
USAGE = 2
INVALID_INPUT = 3
CONFLICT = 4
UNAVAILABLE = 5
NOT_IN_FORCE = 6
OUTCOME_UNKNOWN = 7

MEANINGS: dict[int, str] = {
    SUCCESS: "Done, and in case of an edit put in force by the store.",
    FAILURE: "Something else went wrong; the message says what.",
    USAGE: "The command line is wrong.",
    INVALID_INPUT: "A file or the catalogue in it is invalid.",
    CONFLICT: "Another edit came first; nothing was changed.",
    UNAVAILABLE: "The platform or an entry VM can't be reached.",
    NOT_IN_FORCE: "The version was not in force everywhere in time.",
    OUTCOME_UNKNOWN: "An edit may have taken effect; look before repeating.",
}
