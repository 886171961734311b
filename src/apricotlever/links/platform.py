"""Public names of the clients of the platform's services.

Every call returns a ``returns.result.Result``, whose failure is one of the
:class:`PlatformError` subclasses named here.
"""

from . import cloud_api
from . import object_api
from . import platform_errors
from . import weight_store

ObjectApi = object_api.ObjectApi
PlatformObject = object_api.PlatformObject
MAX_VALUE_BYTES = object_api.MAX_VALUE_BYTES
Listing = object_api.Listing
WatchResult = object_api.WatchResult

CloudApi = cloud_api.CloudApi
Vm = cloud_api.Vm
Price = cloud_api.Price
ReclaimNotice = cloud_api.ReclaimNotice
ReclaimNotices = cloud_api.ReclaimNotices

WeightStore = weight_store.WeightStore

Outcome = platform_errors.Outcome
PlatformError = platform_errors.PlatformError
Ambiguous = platform_errors.Ambiguous
BadAnswer = platform_errors.BadAnswer
Compacted = platform_errors.Compacted
Conflict = platform_errors.Conflict
NoCapacity = platform_errors.NoCapacity
NotFound = platform_errors.NotFound
Throttled = platform_errors.Throttled
ValueTooLarge = platform_errors.ValueTooLarge
Unavailable = platform_errors.Unavailable
