Feature: What callers and operators are promised

  Scenario: A request with an idempotency key is sent twice
    Given a request with an issued key
    When it is sent through each entry
    Then the responses are equal
    And the request was executed once

  Scenario: A zone is taken out and brought back
    Given model requests are answered
    When the operator takes the other zone out
    Then model and keyed requests are answered by one zone
    When the operator brings the other zone back
    Then both zones answer model requests
