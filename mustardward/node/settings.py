"""Load an entry node's own settings, which the platform does not provide."""

from __future__ import annotations

from pathlib import Path

import msgspec

from ..exceptions import SettingsError


class EntrySettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True, rename="kebab"
):
    """An entry node's own settings.

    :param policies_off: policies replaced by simpler ones, to measure the effect of
        each.
    """

    policies_off: tuple[str, ...] = ()


def load_settings(path: str) -> EntrySettings:
    """Return the settings of a YAML file, or the defaults if the path is empty.

    :raises SettingsError: if the file can't be read or its content is invalid.
    """
    if not path:
        return EntrySettings()
    try:
        return msgspec.yaml.decode(Path(path).read_bytes(), type=EntrySettings)
    except (OSError, msgspec.DecodeError) as error:
        raise SettingsError(f"{path}: {error}") from error
