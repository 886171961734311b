"""Public names of the clients of the platform's services.

Every call returns a ``returns.result.Result``, whose failure is one of the
:class:`PlatformError` subclasses named here.
"""

from . import cloud_api
from . import object_api
from . import platform_errors
from . import weight_store

ObjectApi = object_api.ObjectApi
Stored = object_api.Stored
VALUE_BYTES_MAX = object_api.VALUE_BYTES_MAX
Listing = object_api.Listing
Events = object_api.Events

CloudApi = cloud_api.CloudApi
Vm = cloud_api.Vm
Price = cloud_api.Price
Notice = cloud_api.Notice
Notices = cloud_api.Notices

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
TooLarge = platform_errors.TooLarge
Unavailable = platform_errors.Unavailable
