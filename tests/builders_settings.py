"""Builders of settings files for tests."""

import pathlib
import shutil

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"
SECRET_FILES = ("asha.token", "fleet.secret", "accounts.secret")


def settings_directory(directory: pathlib.Path) -> pathlib.Path:
    """Copy the example settings into `directory` and create their secret files."""
    for name in ("entry.yaml", "agent.yaml"):
        shutil.copy(EXAMPLES / name, directory / name)
    secrets = directory / "secrets"
    secrets.mkdir()
    for name in SECRET_FILES:
        secret = secrets / name
        secret.write_text(f"{name:-<40}\n")
        secret.chmod(0o600)
    return directory
