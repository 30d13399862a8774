Feature: Every response comes from one snapshot

  Scenario: Versions change under running queries
    Given a running system whose servers hold "v1"
    And callers who send queries and submissions
    When operators publish generation 2 with "v1,v2"
    And the data supplier moves the servers to "v1,v2" one after the other
    And the data supplier moves the servers to "v2" one after the other
    And 2 seconds pass
    Then every response comes from one index version and tells its true coverage
    And responses of version "v1" were seen
    And responses of version "v2" were seen
    And no guarantee is broken
