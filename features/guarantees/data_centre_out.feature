Feature: A data centre taken out of service gets no new work after 3 s

  Scenario: A data centre leaves and returns
    Given a running system
    And callers who send queries and submissions
    When operators take data centre "dc1" out
    And 6 seconds pass
    Then no closed server got new work after 3 s
    And all watched responses cover every shard
    When operators bring data centre "dc1" back in
    And what follows is watched
    And 4 seconds pass
    Then server "a0" gets work again
    And all watched responses cover every shard
    And no guarantee is broken
