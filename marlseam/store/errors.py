"""The errors of this package, what is found wrong with files, and the reason codes of failed disk calls.

A failed system call stays an OSError: `code_of` names its reason for operators.
"""

import errno
from dataclasses import dataclass

ERROR_CODES = {
    errno.ENOSPC: "full",
    errno.EDQUOT: "full",
    errno.EROFS: "read-only",
    errno.EACCES: "read-only",
    errno.EPERM: "read-only",
    errno.ENOENT: "vanished",
    errno.EIO: "broken",
    errno.ESTALE: "vanished",
    errno.ENOTDIR: "vanished",
    errno.EAGAIN: "locked",
    errno.ENOSYS: "unsupported",
    errno.EINVAL: "unsupported",
    errno.EFBIG: "full",
}
UNKNOWN_ERROR_CODE = "broken"


class StoreError(Exception):
    """Base of this package's errors."""


class UnusableFileError(StoreError):
    """A file that cannot be used.

    Attributes:
        code: `foreign` (not a file of this kind or node), `version` (a format that this program does not
            read) or `torn` (not whole).
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class NodeGoneError(StoreError):
    """The node whose writer process this is has ended without telling it to end."""


@dataclass(frozen=True)
class Finding:
    """Something wrong with a file or a whole directory, as operators are told of it.

    Attributes:
        name: the file's name, empty for the directory.
        code: one word that operators and tests can match.
        text: an explanation in a few words.
    """

    name: str
    code: str
    text: str


def code_of(error: OSError) -> str:
    """Return the reason code of a failed system call."""
    return UNKNOWN_ERROR_CODE if error.errno is None else ERROR_CODES.get(error.errno, UNKNOWN_ERROR_CODE)
