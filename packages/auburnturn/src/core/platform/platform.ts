import { Pool } from 'undici'
import { z } from 'zod'
import { Fault } from '../errors/index.js'
import { watchGraceMs, watchMs } from './constants.js'
import type { ConfigurationPage, MemberPage } from './types.js'

const pageSchema = z.object({
  revision: z.int().min(0),
  entries: z.array(z.object({
    key: z.string(),
    version: z.int().min(0),
    text: z.string().nullish().transform(text => text ?? undefined)
  }))
})

const port = z.int().min(0).max(65_535)

const memberPageSchema = z.object({
  revision: z.int().min(0),
  lists: z.array(z.object({
    service: z.string(),
    version: z.int().min(0),
    members: z.array(z.object({
      id: z.string(),
      service: z.string(),
      region: z.string(),
      failureDomain: z.string(),
      ip: z.string(),
      peerPort: port,
      controlPort: port,
      state: z.enum(['live', 'leaving'])
    }))
  }))
})

/** Reads configuration and membership over HTTP; every method rejects with a `platform-unreachable` fault. */
export class Platform {
  private readonly pools: readonly Pool[]
  private current = 0

  private constructor (origins: readonly string[]) {
    this.pools = origins.map(origin => new Pool(origin, { connections: 4, headersTimeout: watchMs + watchGraceMs, bodyTimeout: watchGraceMs }))
  }

  /** `origins` are equal entrances to the same platform, such as `http://127.0.0.1:8500`. */
  static create (origins: readonly string[]): Platform {
    return new Platform(origins)
  }

  /** Entries newer than `after`; held open by the platform for up to `waitMs` when there are none. */
  async readConfiguration (after: number, waitMs: number, signal?: AbortSignal): Promise<ConfigurationPage> {
    return await this.read(`/v1/configuration?after=${after}&waitMs=${waitMs}`, pageSchema, signal)
  }

  /** Lists that changed after revision `after`; held open by the platform for up to `waitMs` when there are none. */
  async readMembers (after: number, waitMs: number, signal?: AbortSignal): Promise<MemberPage> {
    return await this.read(`/v1/members?after=${after}&waitMs=${waitMs}`, memberPageSchema, signal)
  }

  async close (): Promise<void> {
    await Promise.all(this.pools.map(async pool => { await pool.destroy() }))
  }

  private async read<Schema extends z.ZodType> (path: string, schema: Schema, signal?: AbortSignal): Promise<z.output<Schema>> {
    const pool = this.pools[this.current % this.pools.length] as Pool
    try {
      const answer = await pool.request({ method: 'GET', path, signal })
      const body = await answer.body.json()
      if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`)
      return schema.parse(body)
    } catch (error) {
      this.current++
      throw Fault.create('platform-unreachable', error instanceof Error ? error.message : String(error), error)
    }
  }
}
