Feature: Every planned stop interrupts no request

  Scenario: All entry daemons are replaced under load
    Given a running system
    And callers who send queries and submissions
    When all entry daemons are stopped and started one after the other
    And 2 seconds pass
    Then no caller's request was cut off or refused
    And all watched responses cover every shard
    And no guarantee is broken
