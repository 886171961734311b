Feature: Latency histograms

  Scenario: Percentiles of merged histograms agree with those of all values
    Then percentiles of merged histograms agree with sorting all values of the fleet

  Scenario: The average of the percentiles of VMs is wrong
    Guards against a wrong 95th percentile of the fleet: an average of
    percentiles ignores the number of values behind each. Here one VM answers
    many requests fast, and another answers few and slowly.
    Given a VM with 990 histogram values of 0.1 s and one with 10 of 9 s
    Then the averaged percentile is wrong and the merged percentile is right

  Scenario: Memory is bounded for any number of customers
    When histograms for at most 2 keys get values from 5 customers
    Then no histogram value is lost and further customers are counted as "other"

  Scenario: A malformed histogram is rejected with a specific error
    Then the text "HISTFAAA" is rejected as a histogram
