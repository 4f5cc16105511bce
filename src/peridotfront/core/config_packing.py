"""Compression of the configuration on its way to other hosts."""

import zlib
from dataclasses import replace

from .messages import ConfigUpdate

COMPRESSION_LEVEL = 3
MIN_PACKED_CHARACTERS = 16_384
MAX_UNPACKED_BYTES = 16 * 1024 * 1024
# A slower link gets a second copy while the first one is still on its way.
MIN_LINK_BYTES_PER_S = 125_000
MAX_TRANSFER_MS = 2000


class UpdatePacker:
    """Packer that compresses each version only once, for all hosts."""

    def __init__(self):
        self._packed: ConfigUpdate | None = None

    def pack(self, update: ConfigUpdate) -> ConfigUpdate:
        """Return an update with its content compressed, unless it is short."""
        if len(update.content) < MIN_PACKED_CHARACTERS:
            return update
        if self._packed is None or self._packed.version != update.version:
            data = zlib.compress(update.content.encode(), COMPRESSION_LEVEL)
            self._packed = replace(update, content="", packed_content=data)
        return self._packed


def unpack(update: ConfigUpdate) -> ConfigUpdate:
    """Return an update with its content as text.

    :raises ValueError: if the content can't be restored.
    """
    if not update.packed_content:
        return update
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(update.packed_content, MAX_UNPACKED_BYTES)
    except zlib.error as error:
        raise ValueError(f"the packed content is damaged: {error}") from error
    if not decompressor.eof:
        raise ValueError("the packed content is too long or cut off")
    return replace(update, content=data.decode(), packed_content=b"")


def transfer_ms(update: ConfigUpdate) -> int:
    """Return for how long an update may be on its way to a host."""
    size_bytes = len(update.content) + len(update.packed_content)
    return min(MAX_TRANSFER_MS, 1000 * size_bytes // MIN_LINK_BYTES_PER_S)
