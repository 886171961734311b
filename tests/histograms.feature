Feature: Latency histograms

  Scenario: Merged histograms tell what sorted lists of values tell
    Then merged histograms agree with sorting all values of the fleet

  Scenario: Merging percentiles instead is wrong
    Symptom: the fleet's 95th percentile looks fine while callers wait.
    Events: one VM answers many requests fast, another few and slowly.
    Cause: an average of percentiles ignores how many values each holds.
    Given a VM with 990 histogram values of 0.1 s and one with 10 of 9 s
    Then the averaged percentile is wrong and the merged one is right

  Scenario: Memory is bounded however many customers there are
    When histograms for at most 2 keys get values from 5 customers
    Then no histogram value is lost and the rest is counted as "other"

  Scenario: A peer's damaged histogram is refused by a named error
    Then the text "HISTFAAA" is refused as a histogram
