"""An entry VM's knowledge of the owner of its data centre."""

from tamarackmount.ids import Epoch, Instant, MemberId
from tamarackmount.kernel.request_effects import after_ms

_NO_EPOCH = Epoch(0)


class KnownOwner:
    """The current owner, if known, and the epoch below which grants are stale."""

    def __init__(self, grace_ms: int) -> None:
        """Start without an owner; requests wait up to ``grace_ms`` for one."""
        self._grace_ms = grace_ms
        self._owner: MemberId | None = None
        self._refuse_from: Instant | None = None
        self._fence = _NO_EPOCH

    @property
    def is_known(self) -> bool:
        """Whether the owner is known."""
        return self._owner is not None

    def is_stale(self, epoch: Epoch) -> bool:
        """Return whether grants of the epoch must no longer be used."""
        return epoch < self._fence

    def refuses_requests(self, now: Instant) -> bool:
        """Return whether requests are refused because the grace period is over."""
        if self._owner is not None or self._refuse_from is None:
            return False
        return now >= self._refuse_from

    def set_owner(self, owner: MemberId) -> bool:
        """Record the owner; return whether it is a new one."""
        is_new = self._owner != owner
        self._owner = owner
        self._refuse_from = None
        return is_new

    def set_unknown(self, now: Instant) -> None:
        """Record that the owner is unknown.

        The grace period starts at the first of several calls in a row.
        """
        if self._owner is None and self._refuse_from is not None:
            return
        self._owner = None
        self._refuse_from = after_ms(now, self._grace_ms)

    def raise_fence(self, epoch: Epoch, now: Instant) -> bool:
        """Raise the epoch below which grants are stale; the owner becomes unknown.

        Return whether it was raised; an epoch that is no higher changes nothing.
        """
        if epoch <= self._fence:
            return False
        self._fence = epoch
        self.set_unknown(now)
        return True
