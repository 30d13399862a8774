"""Tests of the data folder on a real disk."""

import asyncio
import threading

import pytest

from bramleyrouter.consensus.files import open_folder


class TestThread:
    """Guard against a log without its disk thread, when none can be started.

    The executor would raise at the first write, which it then makes later.
    """

    def test_folder_can_be_opened_once_threads_can_be_started(
        self, tmp_path, monkeypatch
    ):
        with monkeypatch.context() as patch:

            def refuse(thread):
                raise RuntimeError("can't start new thread")

            patch.setattr(threading.Thread, "start", refuse)
            for _ in range(2):
                with pytest.raises(OSError, match="can't start new thread"):
                    open_folder(tmp_path)
        folder = open_folder(tmp_path)
        asyncio.run(self.write(folder))
        assert folder.read("file") == b"entry"
        folder.close()

    async def write(self, folder):
        await folder.run(lambda: folder.append("file", b"entry"))

    def test_jobs_need_no_new_thread(self, tmp_path, monkeypatch):
        folder = open_folder(tmp_path)

        def refuse(thread):
            raise RuntimeError("can't start new thread")

        monkeypatch.setattr(threading.Thread, "start", refuse)
        asyncio.run(self.write(folder))
        assert folder.read("file") == b"entry"
        folder.close()
