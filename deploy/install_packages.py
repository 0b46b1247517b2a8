"""Installs the packages of the deployment beside those that are in use.

``target/deps`` is a symbolic link to a directory in ``target/packages`` that is
named after the requirements, the version of Python and the kind of machine. A
directory is complete once it has its name, and is not changed afterwards. So
building again changes nothing, an interrupted build leaves the link as it is,
and packages for another kind of machine are not used.

The directory that was in use before is kept for the processes that run with it,
until the link changes again.
"""

from __future__ import annotations

import fcntl
import hashlib
import os
import shutil
import subprocess
import sys
import sysconfig
import tempfile
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
REQUIREMENTS_PATH = ROOT / "deploy" / "requirements.txt"
LINK_PATH = ROOT / "target" / "deps"
PACKAGES_PATH = ROOT / "target" / "packages"


def main() -> None:
    """Makes ``target/deps`` lead to the packages of the requirements."""
    PACKAGES_PATH.mkdir(parents=True, exist_ok=True)
    lock_descriptor = os.open(PACKAGES_PATH, os.O_RDONLY)
    fcntl.flock(lock_descriptor, fcntl.LOCK_EX)
    try:
        folder = PACKAGES_PATH / make_folder_name()
        if not folder.exists():
            install_packages(folder)
        if not LINK_PATH.is_symlink() or LINK_PATH.resolve() != folder:
            switch_packages(folder)
    finally:
        os.close(lock_descriptor)


def make_folder_name() -> str:
    """Returns a name for the requirements, Python and kind of machine."""
    abi = sysconfig.get_config_var("SOABI")
    digest = hashlib.sha256(REQUIREMENTS_PATH.read_bytes()).hexdigest()
    return f"{abi}-{os.uname().machine}-{digest[:16]}"


def install_packages(folder: Path) -> None:
    """Installs the packages into a directory, which appears when complete."""
    partial = Path(tempfile.mkdtemp(prefix="partial-", dir=PACKAGES_PATH))
    pip = (sys.executable, "-m", "pip", "install", "--quiet")
    options = ("--disable-pip-version-check", "--target", str(partial))
    completed = subprocess.run(
        [*pip, *options, "--requirement", str(REQUIREMENTS_PATH)]
    )
    if completed.returncode:
        shutil.rmtree(partial, ignore_errors=True)
        sys.exit(f"packages not installed; {LINK_PATH} is unchanged")
    partial.chmod(0o755)
    partial.rename(folder)


def switch_packages(folder: Path) -> None:
    """Makes the link lead to a directory; removes those not used of late."""
    if LINK_PATH.is_dir() and not LINK_PATH.is_symlink():
        # A link cannot replace a directory of an older build in one step.
        previous = Path(tempfile.mkdtemp(prefix="replaced-", dir=PACKAGES_PATH))
        LINK_PATH.rename(previous)
    else:
        previous = LINK_PATH.resolve()
    new_link = LINK_PATH.with_name("deps.new")
    new_link.unlink(missing_ok=True)
    new_link.symlink_to(folder.relative_to(LINK_PATH.parent))
    new_link.replace(LINK_PATH)
    for other in PACKAGES_PATH.iterdir():
        if other not in (folder, previous):
            shutil.rmtree(other, ignore_errors=True)


if __name__ == "__main__":
    main()
