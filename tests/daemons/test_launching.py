"""Tests of the lines that a process writes when it starts and ends."""

import fcntl
import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[2]
PROGRAM = """
from bramleyrouter.daemons.launching import launch
launch("test-program", "launched_module")
"""
LIMIT_S = 30.0


def run(folder, module, stdout=subprocess.PIPE, stderr=subprocess.PIPE):
    """Launch a module with the given text; return the finished process."""
    (folder / "launched_module.py").write_text(module)
    env = {"PYTHONPATH": f"{ROOT / 'src'}:{folder}", "PATH": os.environ["PATH"]}
    command = [sys.executable, "-c", PROGRAM]
    return subprocess.run(
        command, env=env, stdout=stdout, stderr=stderr, timeout=LIMIT_S
    )


def read_events(finished):
    return [json.loads(line) for line in finished.stdout.splitlines()]


@pytest.fixture
def full_pipe():
    """Return the write end of a pipe that is full and that nobody reads."""
    reader, writer = os.pipe()
    fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
    os.set_blocking(writer, False)
    os.write(writer, b"x" * 4096)
    os.set_blocking(writer, True)
    yield writer
    os.close(reader)
    os.close(writer)


@pytest.fixture
def closed_pipe():
    """Return the write end of a pipe whose read end is closed."""
    reader, writer = os.pipe()
    os.close(reader)
    yield writer
    os.close(writer)


class TestEnds:
    """Guard against ends of a process that its log doesn't tell apart."""

    @pytest.mark.parametrize(
        ("statement", "code", "reason"),
        [
            ("return 0", 0, "stopped"),
            ("return 3", 3, "start_failed"),
            ("raise SystemExit(2)", 2, "start_failed"),
            ("raise SystemExit", 0, "stopped"),
            ("raise SystemExit('a text')", 1, "start_failed"),
        ],
    )
    def test_ended_gives_code_and_reason(self, tmp_path, statement, code, reason):
        finished = run(tmp_path, f"def main(launch):\n    {statement}\n")
        assert finished.returncode == code
        starting, ended = read_events(finished)
        assert starting["event"] == "starting"
        assert starting["program"] == "test-program" and starting["pid"] > 0
        assert (ended["event"], ended["code"], ended["reason"]) == (
            "ended",
            code,
            reason,
        )

    @pytest.mark.parametrize(
        "module",
        [
            'raise ImportError("a \\"name\\" is missing")\n',
            'def main(launch):\n    raise ImportError("a \\"name\\" is missing")\n',
        ],
        ids=["import", "main"],
    )
    def test_exception_is_recorded_and_its_traceback_kept(self, tmp_path, module):
        finished = run(tmp_path, module)
        assert finished.returncode == 1
        ended = read_events(finished)[-1]
        assert ended["reason"] == "exception" and ended["code"] == 1
        assert ended["type"] == "ImportError" and ended["text"] == 'a "name" is missing'
        assert b"Traceback" in finished.stderr

    def test_long_text_of_an_exception_is_cut(self, tmp_path):
        module = 'raise ValueError("\\u2014" * 100_000)\n'
        finished = run(tmp_path, module)
        assert finished.returncode == 1
        assert len(finished.stdout.splitlines()[-1]) < 4096
        assert read_events(finished)[-1]["type"] == "ValueError"

    def test_daemon_is_named_once_it_is_known(self, tmp_path):
        finished = run(tmp_path, 'def main(launch):\n    launch.daemon = "front-1"\n')
        assert [item["daemon"] for item in read_events(finished)] == ["", "front-1"]

    def test_killed_process_leaves_its_first_line_only(self, tmp_path):
        finished = run(tmp_path, "import os\nos.kill(os.getpid(), 9)\n")
        assert finished.returncode == -signal.SIGKILL
        assert [item["event"] for item in read_events(finished)] == ["starting"]

    def test_crash_of_a_native_library_leaves_a_trace(self, tmp_path):
        finished = run(tmp_path, "import os\nos.abort()\n")
        assert finished.returncode == -signal.SIGABRT
        assert [item["event"] for item in read_events(finished)] == ["starting"]
        assert b"Fatal Python error" in finished.stderr
        assert b"launched_module.py" in finished.stderr


class TestReader:
    """Guard against a process that ends or waits because nobody reads its output."""

    PRINTING = 'def main(launch):\n    print("x")\n    return 0\n'

    def test_closed_output_does_not_change_the_exit_code(self, tmp_path, closed_pipe):
        finished = run(tmp_path, self.PRINTING, stdout=closed_pipe, stderr=closed_pipe)
        assert finished.returncode == 0

    def test_lines_are_left_out_while_nobody_reads(self, tmp_path, full_pipe):
        module = "def main(launch):\n    return 3\n"
        finished = run(tmp_path, module, stdout=full_pipe)
        assert finished.returncode == 3

    @pytest.mark.parametrize("text", ["a text", "\u2014" * 100_000])
    def test_unread_traceback_does_not_change_the_exit_code(
        self, tmp_path, full_pipe, text
    ):
        # The interpreter ends with 120 if it can't write the rest of a traceback.
        module = f"raise ValueError({text!r})\n"
        finished = run(tmp_path, module, stderr=full_pipe)
        assert finished.returncode == 1
        assert read_events(finished)[-1]["type"] == "ValueError"

    @pytest.mark.parametrize("descriptors", ["1>&-", "2>&-", "1>&- 2>&-"])
    def test_missing_descriptors_do_not_end_the_process(self, tmp_path, descriptors):
        (tmp_path / "launched_module.py").write_text(
            "def main(launch):\n    return 3\n"
        )
        env = {"PYTHONPATH": f"{ROOT / 'src'}:{tmp_path}", "PATH": os.environ["PATH"]}
        command = ["sh", "-c", f'exec "$0" -c "$1" {descriptors}']
        finished = subprocess.run(
            [*command, sys.executable, PROGRAM], env=env, timeout=LIMIT_S
        )
        assert finished.returncode == 3

    def test_no_file_takes_the_place_of_a_missing_descriptor(self, tmp_path):
        """Guards against log lines that are written to a file of the daemon."""
        (tmp_path / "launched_module.py").write_text(
            "def main(launch):\n    return open(__file__).fileno()\n"
        )
        env = {"PYTHONPATH": f"{ROOT / 'src'}:{tmp_path}", "PATH": os.environ["PATH"]}
        command = ["sh", "-c", 'exec "$0" -c "$1" 0<&- 1>&- 2>&-']
        finished = subprocess.run(
            [*command, sys.executable, PROGRAM], env=env, timeout=LIMIT_S
        )
        assert finished.returncode > 2
