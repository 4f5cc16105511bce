"""All exceptions of peridotfront, under one root."""


class PeridotfrontError(Exception):
    """Is the root of all exceptions of peridotfront."""


class SettingsInvalid(PeridotfrontError):
    """Reports every fault of a settings or configuration file at once.

    :param faults: one :class:`~peridotfront.ini.Fault` for each bad value.
    """

    def __init__(self, source: str, faults: tuple):
        self.source = source
        self.faults = faults
        lines = [f"{source}: {fault}" for fault in faults]
        super().__init__("\n".join(lines))


class LogEventUnknown(PeridotfrontError):
    """Reports a log event that the catalogue does not list."""
