/** A deployment of one customer: region, failure domains, and services with their number of targets. */
export interface Deployment {
  readonly region: string
  readonly failureDomains: readonly string[]
  readonly services: ReadonlyArray<{ readonly name: string, readonly targets: number, readonly profile: string }>
}

/** The two existing deployments, with as many targets as they have. */
export const deployments: readonly Deployment[] = [
  {
    region: 'kochi',
    failureDomains: ['kochi-a', 'kochi-b', 'kochi-c'],
    services: [
      { name: 'catalogue', targets: 4, profile: 'catalogue-pages' },
      { name: 'orders', targets: 3, profile: 'orders' },
      { name: 'inventory', targets: 4, profile: 'internal-checks' }
    ]
  },
  {
    region: 'kazanlak',
    failureDomains: ['kazanlak-a', 'kazanlak-b', 'kazanlak-c'],
    services: [
      { name: 'slotboard', targets: 3, profile: 'catalogue-pages' },
      { name: 'bookings', targets: 3, profile: 'orders' },
      { name: 'harvest', targets: 4, profile: 'internal-checks' }
    ]
  }
]
