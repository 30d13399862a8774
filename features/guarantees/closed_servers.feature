Feature: A backend server that is draining, withdrawn or out gets no new work after 3 s

  Scenario Outline: A server is closed under load
    Given a running system
    And callers who send queries and submissions
    When <closure>
    And 6 seconds pass
    Then no closed server got new work after 3 s
    And all watched responses cover every shard
    And no guarantee is broken

    Examples:
      | closure                         |
      | server "a0" begins to drain     |
      | server "b1" is withdrawn        |
      | operators take server "c0" out  |
