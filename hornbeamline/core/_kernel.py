"""Registry of services with ordered start, graceful stop and signals."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from typing import Final, Protocol, TypeVar

from hornbeamline.exceptions import KernelError
from hornbeamline.telemetry import log_event

EXIT_OK: Final = 0
EXIT_FAILED: Final = 1
EXIT_FORCED: Final = 3

_ServiceT = TypeVar('_ServiceT')


class Service(Protocol):
    """Component of a daemon that is started and stopped by the kernel."""

    async def start(self) -> None:
        """Acquire sockets, files and tasks."""

    async def stop(self) -> None:
        """Release what `start` acquired."""


class Kernel:
    """Starts and stops the services of one process.

    Services start in the order of their registration and stop in the
    reverse order, so a service may depend on those registered before it.
    """

    def __init__(self, stop_timeout_s: float) -> None:
        """Initialize with the timeout of a graceful stop in seconds."""
        self._services_by_name: dict[str, Service] = {}
        self._started: list[str] = []
        self._stop_timeout_s = stop_timeout_s
        self._stop_requested = asyncio.Event()
        self._force_requested = asyncio.Event()
        self._failure: BaseException | None = None
        self._reload_callbacks: list[Callable[[], None]] = []

    def on_reload(self, reload: Callable[[], None]) -> None:
        """Add a callback for requests to reload the settings."""
        self._reload_callbacks.append(reload)

    def request_reload(self) -> None:
        """Call all reload callbacks: the settings may have changed."""
        log_event('kernel.reload')
        for reload in self._reload_callbacks:
            reload()

    def register(self, name: str, service: Service) -> None:
        """Add a service; raises `KernelError` if the name is taken."""
        if name in self._services_by_name:
            raise KernelError(f'service {name} is already registered')
        self._services_by_name[name] = service

    def service(self, name: str, service_type: type[_ServiceT]) -> _ServiceT:
        """Return a registered service.

        Raises `KernelError` if there is none with this name and type.
        """
        found = self._services_by_name.get(name)
        if found is None:
            raise KernelError(f'service {name} is not registered')
        if not isinstance(found, service_type):
            raise KernelError(
                f'service {name} is not a {service_type.__name__}'
            )
        return found

    def request_stop(self) -> None:
        """Begin a graceful stop; a second call forces the stop."""
        if self._stop_requested.is_set():
            self._force_requested.set()
        self._stop_requested.set()

    def fail(self, error: BaseException) -> None:
        """Stop the process because a service cannot continue."""
        if self._failure is None:
            self._failure = error
        log_event('kernel.failed', error=str(error))
        self.request_stop()

    async def run(self) -> int:
        """Start all services, wait for a stop request, stop them.

        Returns the exit code: 0 after a graceful stop, 1 after a failure
        of a service, 3 if the stop was forced.
        """
        self._install_signal_handlers()
        try:
            await self.start()
        except BaseException:
            await self._stop_services()
            raise
        await self._stop_requested.wait()
        return await self._stop_bounded()

    async def start(self) -> None:
        """Start the registered services in order."""
        for name, service in self._services_by_name.items():
            # Recorded first, so that a service whose start fails is stopped.
            self._started.append(name)
            await service.start()

    async def stop(self) -> None:
        """Stop the started services in reverse order."""
        await self._stop_services()

    def _install_signal_handlers(self) -> None:
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.request_stop)
        loop.add_signal_handler(signal.SIGHUP, self.request_reload)

    async def _stop_bounded(self) -> int:
        stopping = asyncio.create_task(self._stop_services())
        forced = asyncio.create_task(self._force_requested.wait())
        done, _ = await asyncio.wait(
            {stopping, forced},
            timeout=self._stop_timeout_s,
            return_when=asyncio.FIRST_COMPLETED,
        )
        forced.cancel()
        if stopping not in done:
            stopping.cancel()
            log_event('kernel.stop_forced', timeout_s=self._stop_timeout_s)
            return EXIT_FORCED
        return EXIT_OK if self._failure is None else EXIT_FAILED

    async def _stop_services(self) -> None:
        while self._started:
            name = self._started.pop()
            try:
                await self._services_by_name[name].stop()
            except Exception as error:
                # The remaining services must be stopped as well.
                log_event('kernel.stop_failed', service=name, error=repr(error))
