"""Reports the configuration key whose socket cannot be opened."""

from collections.abc import Iterator
from contextlib import contextmanager

from marlseam.configuration import ConfigError


@contextmanager
def config_error_on_failure(key: str, value: object, expected: str) -> Iterator[None]:
    """Raise ConfigError with the key, its value and what was expected instead of an OSError."""
    try:
        yield
    except OSError as error:
        raise ConfigError(key, value, f"{expected} ({error.strerror})") from None
