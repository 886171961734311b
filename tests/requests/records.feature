Feature: Records of running and ended requests

  Scenario: Another customer's request looks like a missing one
    Given a record of customer "notary" with 5 tokens
    Then customer "lounge" finds no such record
    And customer "notary" resumes it after token 2 with tokens "t3 t4"

  Scenario: A caller that is ahead of the record continues where it is
    Given a record of customer "notary" with 5 tokens
    Then customer "notary" resumes it after token 8 with tokens ""

  Scenario: An ended request can be fetched for a limited time
    Given a record of customer "notary" with 5 tokens
    When the record ends
    Then customer "notary" gets its outcome after token 3 with tokens "t4"
    When 601 seconds pass for the records
    Then customer "notary" finds no such record

  Scenario: The caller of a request that was handed over is redirected
    Given a record of customer "notary" with 5 tokens
    When the record is moved to VM "b"
    Then customer "notary" is redirected to VM "b"
    And customer "lounge" finds no such record

  Scenario: Records agree with a reference model within their limits
    Then random steps on the records agree with a reference model
