Feature: A backend server that has just started gets no more load than it can handle

  Scenario: A server starts again cold under full load
    Given a running system
    And callers who send 12 queries at a time
    When server "a0" starts again cold
    And what follows is watched
    And 2 seconds pass
    Then no cold server got more than one request at a time
    And server "a0" gets work again
    And no server ever had more requests in flight than it declared
    And no guarantee is broken
