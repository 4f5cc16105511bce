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


class StorageFailed(PeridotfrontError):
    """A write or a sync failed; nothing more may be acknowledged."""


class FolderInUse(PeridotfrontError):
    """Another process holds the data folder."""


class StorageDamaged(PeridotfrontError):
    """A file in the data folder is damaged other than by a torn last write.

    :param file: path of the damaged file.
    :param offset_bytes: where the damage begins.
    :param detail: what is wrong there.
    """

    def __init__(self, file: str, offset_bytes: int, detail: str) -> None:
        super().__init__(f"{file} is damaged at byte {offset_bytes}: {detail}")
        self.file = file
        self.offset_bytes = offset_bytes
        self.detail = detail


class LogDiverged(PeridotfrontError):
    """A leader contradicts an entry that is committed here."""
