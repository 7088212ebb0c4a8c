"""What a node needs to know of the platform that it runs on."""

from collections.abc import Callable
from typing import NamedTuple

from mulberrybay_core.platform_documents import PlatformDocuments
from mulberrybay_edge.settings import EdgeSettings
from mulberrybay_platform.dialect import StoreDialect


class PlatformAdapter(NamedTuple):
    """The platform's formats and calls, as an edge node uses them.

    Attributes:
        dialect: Encodes calls to the store and decodes its replies.
        documents: Decodes objects of the store.
        encode_addresses: Encodes a reply of the directory, from addresses and
            the seconds for which callers may cache it.
        load_settings: Reads the settings file again.
        settings_path: The path of the settings file.
        signals_blocked_at_s: When the entry point blocked the signals that a
            node handles.
    """

    dialect: StoreDialect
    documents: PlatformDocuments
    encode_addresses: Callable[[list[str], float], bytes]
    load_settings: Callable[[], EdgeSettings]
    settings_path: str
    signals_blocked_at_s: float
