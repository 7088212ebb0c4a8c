"""Starts, signals and stops processes for tests and the demo."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
import time
from collections.abc import Mapping, Sequence
from pathlib import Path

_POLL_INTERVAL_S = 0.01
_LOG_TAIL_BYTES = 2000
_STOP_TIMEOUT_S = 5.0


class ProcessError(Exception):
    """A process did not start or stop as expected.

    The message includes the end of the process's output.
    """

    def __init__(self, step: str, process: ManagedProcess) -> None:
        super().__init__(f"{process.name}: {step}\n{process.log_tail()}")
        self.step = step
        self.process_name = process.name


class ManagedProcess:
    """A process in its own process group, with its output in files."""

    def __init__(
        self,
        name: str,
        argv: Sequence[str],
        env: Mapping[str, str],
        folder: Path,
    ) -> None:
        self.name = name
        self._stdout = folder / f"{name}.stdout"
        self._stderr = folder / f"{name}.stderr"
        with self._stdout.open("wb") as stdout, self._stderr.open("wb") as err:
            self._popen = subprocess.Popen(
                argv,
                env={**os.environ, **env},
                stdin=subprocess.DEVNULL,
                stdout=stdout,
                stderr=err,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """The process id."""
        return self._popen.pid

    @property
    def returncode(self) -> int | None:
        """The exit code, or None while the process runs."""
        return self._popen.poll()

    def wait_ready(self, prefix: str = "ready", timeout_s: float = 10.0) -> str:
        """Waits for a line of standard output that starts with a prefix.

        Returns:
            The line.

        Raises:
            ProcessError: The process exited, or the timeout has passed.
        """
        ends_at_s = time.monotonic() + timeout_s
        while time.monotonic() < ends_at_s:
            exited = self.returncode is not None
            for line in self._stdout.read_text(errors="replace").split("\n")[
                :-1
            ]:
                if line.startswith(prefix):
                    return line
            if exited:
                raise ProcessError(f"exited with {self.returncode}", self)
            time.sleep(_POLL_INTERVAL_S)
        raise ProcessError(
            f"no line with prefix {prefix!r} within {timeout_s} s", self
        )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process group if the process is running."""
        if self.returncode is None:
            os.killpg(self.pid, number)

    def freeze(self) -> None:
        """Suspends the process until `thaw` is called."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Resumes a frozen process."""
        self.signal(signal.SIGCONT)

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        self.signal(signal.SIGKILL)
        self._popen.wait(_STOP_TIMEOUT_S)

    def terminate(self, timeout_s: float = _STOP_TIMEOUT_S) -> int:
        """Sends SIGTERM, resumes a frozen process and waits for its end.

        Returns:
            The exit code.

        Raises:
            ProcessError: The process is still running after the timeout.
        """
        self.signal(signal.SIGTERM)
        self.thaw()
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            raise ProcessError(
                f"still running {timeout_s} s after SIGTERM", self
            ) from None

    def log_text(self) -> str:
        """Returns everything written to standard error."""
        return self._stderr.read_text(errors="replace")

    def log_tail(self) -> str:
        """Returns the end of standard output and of standard error."""
        return "".join(
            path.read_bytes()[-_LOG_TAIL_BYTES:].decode(errors="replace")
            for path in (self._stdout, self._stderr)
        )


class Processes:
    """Starts processes and stops them when the context is left."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._processes: list[ManagedProcess] = []

    def __enter__(self) -> Processes:
        """Creates the folder for the output files."""
        self._folder.mkdir(parents=True, exist_ok=True)
        return self

    def __exit__(self, *_: object) -> None:
        """Stops all running processes; kills those that do not exit in time."""
        for process in self._processes:
            process.signal(signal.SIGTERM)
            process.thaw()
        for process in reversed(self._processes):
            try:
                process.terminate()
            except ProcessError:
                process.kill()

    def start(
        self,
        name: str,
        argv: Sequence[str],
        env: Mapping[str, str] | None = None,
    ) -> ManagedProcess:
        """Starts a process; its output is written to files named after it."""
        process = ManagedProcess(name, argv, env or {}, self._folder)
        self._processes.append(process)
        return process

    def start_module(
        self, name: str, module: str, *arguments: object
    ) -> ManagedProcess:
        """Starts a module of this package, for example `tcp_proxy`."""
        argv = [sys.executable, "-m", f"mulberrybay_testing.{module}"]
        return self.start(name, [*argv, *map(str, arguments)])

    def find(self, name: str) -> ManagedProcess:
        """Returns the first process that was started with a name."""
        return next(item for item in self._processes if item.name == name)
