"""Provide the file operations that the log's storage uses.

Storage uses a ``FileSystem``, a bundle of closures that raise ``OSError``, so
that tests can make syncs fail, tear writes and flip bits at any point.
"""

import asyncio
import errno
import fcntl
import os
from collections.abc import Awaitable, Callable
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple


class FileSystem(NamedTuple):
    """Bundle the operations on one flat data folder; paths are file names.

    ``append`` creates the file when it is missing. ``sync`` makes a file's
    content durable, ``sync_folder`` the creation, renaming and removal of
    files. ``run(job)`` runs blocking jobs outside the event loop, one at a
    time and in order. ``close`` closes the files and releases the lock.
    """

    list_names: Callable[[], list[str]]
    read: Callable[[str], bytes]
    read_part: Callable[[str, int, int], bytes]
    append: Callable[[str, bytes], None]
    sync: Callable[[str], None]
    truncate: Callable[[str, int], None]
    replace: Callable[[str, str], None]
    remove: Callable[[str], None]
    sync_folder: Callable[[], None]
    run: Callable[[Callable[[], Any]], Awaitable[Any]]
    close: Callable[[], None]


def _write_all(handle: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(handle, view) :]


def _lock(folder: Path) -> int:
    """Create and lock the folder.

    Without the lock, two processes would write their entries to the same files.
    """
    folder.mkdir(parents=True, exist_ok=True)
    handle = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        fcntl.flock(handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(handle)
        raise
    return handle


def open_folder(folder: Path) -> FileSystem:
    """Create ``folder`` if it is missing, lock it and return its file system.

    Raises ``OSError`` when it can't be created, another process uses it or no thread
    can be started.
    """
    lock = _lock(folder)
    handles: dict[str, int] = {}
    # A thread, because a sync must not block the event loop; only one, so that
    # the jobs run in order.
    executor = ThreadPoolExecutor(1, thread_name_prefix="consensus-disk")
    try:
        # Starts the thread now, as a job for which none can be started would be kept
        # and run with a later one.
        executor.submit(lambda: None).result()
    except RuntimeError as exc:
        executor.shutdown(wait=False)
        os.close(lock)
        raise OSError(errno.EAGAIN, str(exc)) from exc

    def get_handle(name):
        if name not in handles:
            flags = os.O_RDWR | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            handles[name] = os.open(folder / name, flags, 0o600)
        return handles[name]

    def close_file(name):
        if name in handles:
            os.close(handles.pop(name))

    def read_part(name, offset, size):
        with open(folder / name, "rb") as file:
            file.seek(offset)
            return file.read(size)

    def replace(source, target):
        close_file(source)
        close_file(target)
        os.replace(folder / source, folder / target)

    def remove(name):
        close_file(name)
        os.remove(folder / name)

    def close():
        executor.shutdown(wait=True)
        for name in list(handles):
            close_file(name)
        os.close(lock)

    return FileSystem(
        list_names=lambda: sorted(os.listdir(folder)),
        read=lambda name: (folder / name).read_bytes(),
        read_part=read_part,
        append=lambda name, data: _write_all(get_handle(name), data),
        sync=lambda name: os.fsync(get_handle(name)),
        truncate=lambda name, size: os.ftruncate(get_handle(name), size),
        replace=replace,
        remove=remove,
        sync_folder=lambda: os.fsync(lock),
        run=lambda job: asyncio.get_running_loop().run_in_executor(executor, job),
        close=close,
    )
