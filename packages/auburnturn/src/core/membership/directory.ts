import { createAdapter } from '@most/adapter'
import type { Stream } from '@most/types'
import type { Member, MemberList } from './types.js'

/** The members of each service as this node knows them. */
export class Directory {
  /** Emits the name of a service whose members changed. */
  readonly changes: Stream<string>
  private readonly emit: (service: string) => void
  private byService = new Map<string, readonly Member[]>()
  private version = -1

  private constructor () {
    const [emit, changes] = createAdapter<string>()
    this.emit = emit
    this.changes = changes
  }

  static create (): Directory {
    return new Directory()
  }

  /** Takes the platform's list unless it is older than the one held. */
  accept (list: MemberList): void {
    if (list.version <= this.version) return
    this.version = list.version
    const before = this.byService
    this.byService = groupByService(list.members)
    for (const service of new Set([...before.keys(), ...this.byService.keys()])) this.emit(service)
  }

  /** Targets of a service that may receive new work. */
  liveMembers (service: string): readonly Member[] {
    return this.members(service).filter(member => member.state === 'live')
  }

  members (service: string): readonly Member[] {
    return this.byService.get(service) ?? []
  }

  hasService (service: string): boolean {
    return this.byService.has(service)
  }

  dump (): unknown {
    return { version: this.version, services: Object.fromEntries(this.byService) }
  }
}

function groupByService (members: readonly Member[]): Map<string, readonly Member[]> {
  const groups = new Map<string, Member[]>()
  for (const member of members) {
    const group = groups.get(member.service)
    if (group === undefined) groups.set(member.service, [member])
    else group.push(member)
  }
  return groups
}
