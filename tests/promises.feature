Feature: What callers and operators are promised

  Scenario: A posting is sent twice
    Given a posting with an issued key
    When it is sent through each entry
    Then each answer is the same
    And the posting ran once

  Scenario: A zone is taken out and brought back
    Given drafts are answered
    When the operator takes the other zone out
    Then drafts and postings are answered by one zone
    When the operator brings the other zone back
    Then both zones answer drafts
