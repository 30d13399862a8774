Feature: Each caller gets the whole response to its own request

  Scenario: Replies arrive late while hedges overtake them
    Given a running system
    And callers who send queries and submissions
    When every server answers one request in three late
    And messages between daemons are delayed, doubled and reordered
    And 6 seconds pass
    Then every response comes from one index version and tells its true coverage
    And no guarantee is broken
