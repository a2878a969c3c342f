import type { Configuration, Limits, Route, Service, Share } from '../core/configuration/index.js'
import { asDurationMs, asInteger, asJsonObject, asNonEmptyString, asNonNegativeNumber, asPath, asWellFormedString } from '../core/decoding/index.js'
import type { JsonObject } from '../core/decoding/index.js'

/** Key of the store under which the newest configuration is stored. */
export const configurationKey = 'op/config'

/** Timeout of a route for which the operator sets none, in milliseconds. */
const defaultTimeoutMs = 60_000
/** Latency objective of a route for which the operator sets none, in milliseconds. */
const defaultObjectiveMs = 1_000
/** Limits that apply where the operator sets none. */
const defaultLimits: Limits = { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 }

/** Decodes a configuration from a value of the store; undefined if it can't be activated as a whole. */
export function decodeConfiguration (value: unknown): Configuration | undefined {
  const fields = asJsonObject(value)
  const version = asInteger(fields?.['version'])
  const resources = fields?.['resources']
  if (version === undefined || !Array.isArray(resources)) return undefined
  const routes: Route[] = []
  const services: Service[] = []
  let limits = defaultLimits
  for (const resource of resources as unknown[]) {
    const resourceFields = asJsonObject(resource)
    const spec = asJsonObject(resourceFields?.['spec'])
    if (resourceFields === undefined || spec === undefined) return undefined
    const name = asWellFormedString(asJsonObject(resourceFields['metadata'])?.['name']) ?? ''
    switch (resourceFields['resource_type']) {
      case 'routes': {
        const route = decodeRoute(name, spec)
        if (route === undefined) return undefined
        routes.push(route)
        break
      }
      case 'services':
        services.push({ name, healthPath: asPath(spec['health_path']) ?? '/health' })
        break
      case 'limits':
        limits = decodeLimits(spec)
    }
  }
  return { version, routes, services, limits }
}

function decodeRoute (name: string, spec: JsonObject): Route | undefined {
  const host = asNonEmptyString(spec['host'])?.toLowerCase()
  const prefix = asNonEmptyString(spec['prefix'])
  const shares = decodeShares(spec)
  if (host === undefined || prefix === undefined || shares === undefined) return undefined
  return {
    name,
    host,
    prefix,
    // A request must not be retried unless its route is declared idempotent.
    kind: spec['route_type'] === 'idempotent' ? 'idempotent' : 'non-idempotent',
    timeoutMs: asDurationMs(spec['timeout_ms']) ?? defaultTimeoutMs,
    objectiveMs: asDurationMs(spec['slo_latency_ms']) ?? defaultObjectiveMs,
    priority: asNonNegativeNumber(spec['priority']) ?? 0,
    maxAttempts: Math.max(1, asNonNegativeNumber(spec['max_attempts']) ?? 1),
    shares
  }
}

function decodeShares (spec: JsonObject): Share[] | undefined {
  const singleService = asNonEmptyString(spec['service'])
  if (singleService !== undefined) return [{ service: singleService, weight: 1 }]
  const split = spec['weighted_split']
  if (!Array.isArray(split)) return undefined
  const shares: Share[] = []
  for (const entry of split as unknown[]) {
    const fields = asJsonObject(entry)
    const service = asNonEmptyString(fields?.['service'])
    const weight = asNonNegativeNumber(fields?.['weight'])
    if (service === undefined || weight === undefined) return undefined
    if (weight > 0) shares.push({ service, weight })
  }
  return shares.length > 0 ? shares : undefined
}

function decodeLimits (spec: JsonObject): Limits {
  return {
    maxHeaderBytes: asNonNegativeNumber(spec['max_header_bytes']) ?? defaultLimits.maxHeaderBytes,
    maxBodyBytes: asNonNegativeNumber(spec['max_body_bytes']) ?? defaultLimits.maxBodyBytes,
    headerTimeoutMs: asDurationMs(spec['header_timeout_ms']) ?? defaultLimits.headerTimeoutMs,
    idleTimeoutMs: asDurationMs(spec['idle_timeout_ms']) ?? defaultLimits.idleTimeoutMs
  }
}
