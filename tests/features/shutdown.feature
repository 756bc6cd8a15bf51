Feature: Taking an entry instance out of service interrupts no request
  Instances are replaced many times a day and zones are closed for maintenance. A caller
  whose request is interrupted does not know whether it ran.

  Scenario: Rolling replacement under load
    Given three entry instances and callers that keep their connections open
    When the instances are replaced one after another, five times
    Then no request was interrupted
    And every draining instance answered requests on connections that were idle
    And callers were told to close their connections

  Scenario: A zone is closed and opened by the operators
    Given three entry instances in two zones
    When the operators close the zone of the first instance
    Then the first instance is not ready
    And it answers a request that still reaches it and asks to close the connection
    But an instance of the other zone is ready
    When the operators open the zone again
    Then the first instance is ready
