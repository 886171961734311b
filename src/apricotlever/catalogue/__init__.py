"""The catalogue: entries, service classes, customers and limits.

An entry is a model or a plain service that callers may use. A service class
sets the latency targets, timeouts and priorities of an entry's requests.
Operators edit the catalogue as a JSON document in the platform's store; every
edit makes a new version.
"""

from . import model
from . import parsing
from . import schema

Catalogue = model.Catalogue
CatalogueInvalid = schema.CatalogueInvalid
EMPTY = model.EMPTY
Parser = parsing.Parser
filled_in = parsing.filled_in
parse = parsing.parse
