"""The error of a configuration that cannot be used."""

REQUIRED = object()  # marks an entry without a default; as a value, a missing entry


class ConfigError(Exception):
    """A configuration cannot be used; the message has the key, the value got and what was expected.

    Attributes:
        key: the full key at fault, such as `settings.requestClasses[0].aimUs`, or the name of an environment
            variable.
        expected: a description of a valid value.
    """

    def __init__(self, key: str, value: object, expected: str) -> None:
        shown = "missing" if value is REQUIRED else f"{value!r}"[:80]
        super().__init__(f"{key}: {shown}, expected {expected}")
        self.key, self.expected = key, expected
