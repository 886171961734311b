Feature: Invalid input is refused clearly and does no harm

  Scenario: Every kind of bad input
    Guards against unvalidated input: a malformed request that is answered with
    a traceback, or that makes the entry VM or its runners unavailable to other
    callers. Two half-sent requests are open at the same time.
    Given an entry VM that accepts bodies of up to 65536 bytes
    And two half-sent requests, one of which continues byte by byte
    Then each input is refused with its status, error type and executed value
      | input                                        | status | type               | executed |
      | an oversized body                            | 413    | body_too_large     | no       |
      | an oversized Content-Length without its body | 413    | body_too_large     | no       |
      | broken JSON                                  | 400    | bad_json           | no       |
      | JSON that is nested too deeply               | 400    | bad_json           | no       |
      | a JSON list instead of an object             | 400    | bad_json           | no       |
      | bytes that are not UTF-8                     | 400    | bad_json           | no       |
      | an unpaired surrogate                        | 400    | bad_json           | no       |
      | a wrong key                                  | 401    | unauthenticated    | no       |
      | a key that is not ASCII                      | 401    | unauthenticated    | no       |
      | no key                                       | 401    | unauthenticated    | no       |
      | an unknown entry                             | 404    | not_found          | no       |
      | a service entry used as a model              | 404    | not_found          | no       |
      | a header that is too long                    | 431    | headers_too_large  | no       |
      | a prompt that is a number                    | 400    | bad_json           | no       |
      | a model that is a list                       | 400    | bad_json           | no       |
      | max_tokens that is text                      | 400    | bad_json           | no       |
      | max_tokens that is huge                      | 400    | bad_json           | no       |
      | max_tokens below one                         | 400    | bad_json           | no       |
      | a seed that is text                          | 400    | bad_json           | no       |
      | messages of wrong types                      | 400    | bad_json           | no       |
      | a Last-Event-ID that is not a number         | 400    | bad_request        | no       |
      | a Last-Event-ID that is huge                 | 400    | bad_request        | no       |
      | an unknown request                           | 404    | not_found          | unknown  |
      | an unknown method                            | 405    | method_not_allowed | no       |
      | a method that the path does not support      | 405    | method_not_allowed | no       |
      | an unknown path                              | 404    | not_found          | no       |
      | path traversal past a service                | 404    | not_found          | no       |
      | path traversal in a service                  | 400    | bad_request        | no       |
      | encoded path traversal in a service          | 400    | bad_request        | no       |
      | a line break in a service's path             | 404    | not_found          | no       |
      | chunks without chunk sizes                   | 400    | bad_request        | no       |
      | an unknown transfer encoding                 | 501    | not_implemented    | no       |
      | a Content-Length that is not a number        | 400    | bad_request        | no       |
      | bytes that are not HTTP                      | 400    | bad_request        | no       |
      | an idempotency key that is too long          | 400    | bad_request        | no       |
      | a number of keys that is text                | 400    | bad_json           | no       |
    And no response shows a traceback, a file path or another customer's data
    And no upstream has received any of the inputs
    And another customer is served after 30 requests with a bad seed
    And the half-sent requests are refused with 408
    And the entry VM has logged no internal error and still serves requests
