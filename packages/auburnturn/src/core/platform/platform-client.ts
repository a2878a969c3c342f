import { Pool } from 'undici'
import type { z } from 'zod'
import { Fault } from '../errors/index.js'
import { maxResponseBytes, watchGraceMs, watchTimeoutMs } from './constants.js'
import { configurationPageSchema, memberPageSchema } from './schemas.js'
import type { ConfigurationPage, MemberPage } from './types.js'

/**
 * Reads configuration and member lists over HTTP. A failed read rejects with a `platform-unreachable` fault,
 * and the next read uses the next endpoint.
 */
export class PlatformClient {
  private readonly pools: readonly Pool[]
  private poolIndex = 0

  private constructor (origins: readonly string[]) {
    this.pools = origins.map(origin => new Pool(origin, { connections: 4, headersTimeout: watchTimeoutMs + watchGraceMs, bodyTimeout: watchGraceMs, maxResponseSize: maxResponseBytes }))
  }

  /** `origins` are equivalent endpoints of the same platform, such as `http://127.0.0.1:8500`. */
  static create (origins: readonly string[]): PlatformClient {
    return new PlatformClient(origins)
  }

  /** Reads the entries newer than `after`. If there are none, the platform holds the request open for up to `waitMs`. */
  async readConfiguration (after: number, waitMs: number, signal?: AbortSignal): Promise<ConfigurationPage> {
    return await this.readPage(`/v1/configuration?after=${after}&waitMs=${waitMs}`, configurationPageSchema, signal)
  }

  /** Reads the lists that changed after revision `after`, or waits up to `waitMs` for one, as `readConfiguration` does. */
  async readMembers (after: number, waitMs: number, signal?: AbortSignal): Promise<MemberPage> {
    return await this.readPage(`/v1/members?after=${after}&waitMs=${waitMs}`, memberPageSchema, signal)
  }

  async close (): Promise<void> {
    await Promise.all(this.pools.map(async pool => { await pool.destroy() }))
  }

  private async readPage<Schema extends z.ZodType> (path: string, schema: Schema, signal?: AbortSignal): Promise<z.output<Schema>> {
    const pool = this.pools[this.poolIndex % this.pools.length] as Pool
    try {
      const response = await pool.request({ method: 'GET', path, signal })
      const body = await response.body.json()
      if (response.statusCode !== 200) throw new Error(`status ${response.statusCode}`)
      return schema.parse(body)
    } catch (error) {
      this.poolIndex++
      throw Fault.create('platform-unreachable', error instanceof Error ? error.message : String(error), error)
    }
  }
}
