Feature: Records of running and ended requests

  Scenario: A stranger can't tell another's request from none
    Given a record of customer "notary" with 5 tokens
    Then customer "lounge" finds no such record
    And customer "notary" resumes it after token 2 with tokens "t3 t4"

  Scenario: A caller that is ahead of the record goes on from where it is
    Given a record of customer "notary" with 5 tokens
    Then customer "notary" resumes it after token 8 with tokens ""

  Scenario: An ended request can be fetched for a while
    Given a record of customer "notary" with 5 tokens
    When the record ends
    Then customer "notary" gets its end after token 3 with tokens "t4"
    When 601 seconds pass for the records
    Then customer "notary" finds no such record

  Scenario: A request that was handed over says where it went
    Given a record of customer "notary" with 5 tokens
    When the record is moved to VM "b"
    Then customer "notary" is sent to VM "b"
    And customer "lounge" finds no such record

  Scenario: Records behave like a plain dictionary within their bounds
    Then random steps on the records agree with a plain dictionary
