Feature: Keys minted by a VM

  Scenario: A key is valid for its own customer only
    Then no altered key and no key of another customer is valid

  Scenario: A malformed key is refused
    Then these texts are not minted keys
      | text             |
      | al1.             |
      | al1.a.1.0-5      |
      | al1.a.x.0-5.aa   |
      | al1.a.1.zz.aa    |
      | al1..1.0-5.aa    |
      | order-1          |
