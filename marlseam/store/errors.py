"""The errors of this package, findings about files, and the reason codes of failed disk calls.

A failed system call stays an OSError; `code_of` returns its reason code for operators.
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
    """Base class of this package's errors."""


class UnusableFileError(StoreError):
    """A file cannot be used.

    Attributes:
        code: `foreign` (not a file of this kind or node), `version` (unsupported format version) or `torn`
            (incomplete).
    """

    def __init__(self, code: str, text: str) -> None:
        super().__init__(text)
        self.code = code


class NodeGoneError(StoreError):
    """The node of this writer process has ended without sending END."""


@dataclass(frozen=True)
class Finding:
    """A fault of a file or of a whole directory, reported to operators.

    Attributes:
        name: the file's name, empty for the directory.
        code: the reason code, which operators and tests match.
        text: a short explanation.
    """

    name: str
    code: str
    text: str


def code_of(error: OSError) -> str:
    """Return the reason code of a failed system call, `broken` for an unknown error number."""
    return UNKNOWN_ERROR_CODE if error.errno is None else ERROR_CODES.get(error.errno, UNKNOWN_ERROR_CODE)
