"""Read an entry's own settings, which hold nothing that the platform says."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..exceptions import SettingsError


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"
):
    """Hold an entry's own settings.

    :param policies_off: policies that are replaced by plainer ones, to measure what
        each is worth.
    """

    policies_off: tuple[str, ...] = ()


def load_settings(path: str) -> EntrySettings:
    """Return the settings of a YAML file, the default ones if no file is named.

    :raises SettingsError: if the file can't be read, or holds what there is not.
    """
    if not path:
        return EntrySettings()
    try:
        return msgspec.yaml.decode(Path(path).read_bytes(), type=EntrySettings)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
