Feature: Every response states its coverage truthfully

  Scenario: All replicas of one shard are lost
    Given a running system
    When server "a0" crashes
    And server "a1" crashes
    And 1 seconds pass
    Then a response for the best coverage misses only shard "a"
    And a request for full coverage is refused by its number
    And no guarantee is broken

  Scenario: One of two replicas of every shard is lost
    Given a running system
    And callers who send queries and submissions
    When server "a0" crashes
    And server "b1" crashes
    And server "c0" crashes
    And 4 seconds pass
    And what follows is watched
    And 3 seconds pass
    Then all watched responses cover every shard
    And no guarantee is broken
