Feature: Strangers get no access to the internal port

  Scenario: A daemon without the cluster's key is refused
    Given a daemon that listens with the cluster's key
    When a daemon with another key calls it
    Then the call fails
