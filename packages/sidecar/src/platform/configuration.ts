import type { Configuration, Limits, Route, Service, Share } from '../core/configuration/index.js'
import { asNonNegativeNumber, asJsonObject, asNonEmptyString } from './json-values.js'
import type { JsonObject } from './json-values.js'

/** Key of the newest configuration in the store. */
export const configurationKey = 'op/config'

/** Stands for a time that the operator leaves open, in milliseconds. */
const defaultTimeoutMs = 60_000
const defaultObjectiveMs = 1_000
const defaultLimits: Limits = { maxHeaderBytes: 16_384, maxBodyBytes: 67_108_864, headerTimeoutMs: 10_000, idleTimeoutMs: 60_000 }

/** The configuration in a value of the store; undefined when it is not one that can be put in force whole. */
export function decodeConfiguration (value: unknown): Configuration | undefined {
  const fields = asJsonObject(value)
  const version = asNonNegativeNumber(fields?.['version'])
  const resources = fields?.['resources']
  if (version === undefined || !Array.isArray(resources)) return undefined
  const routes: Route[] = []
  const services: Service[] = []
  let limits = defaultLimits
  for (const resource of resources as unknown[]) {
    const outer = asJsonObject(resource)
    const spec = asJsonObject(outer?.['spec'])
    if (outer === undefined || spec === undefined) return undefined
    const name = asNonEmptyString(asJsonObject(outer['metadata'])?.['name']) ?? ''
    switch (outer['resource_type']) {
      case 'routes': {
        const route = decodeRoute(name, spec)
        if (route === undefined) return undefined
        routes.push(route)
        break
      }
      case 'services':
        services.push({ name, healthPath: asNonEmptyString(spec['health_path']) ?? '/health' })
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
    // Unless it is said to be idempotent, a request must not be repeated.
    kind: spec['route_type'] === 'idempotent' ? 'idempotent' : 'non-idempotent',
    timeoutMs: asNonNegativeNumber(spec['timeout_ms']) ?? defaultTimeoutMs,
    objectiveMs: asNonNegativeNumber(spec['slo_latency_ms']) ?? defaultObjectiveMs,
    priority: asNonNegativeNumber(spec['priority']) ?? 0,
    maxAttempts: Math.max(1, asNonNegativeNumber(spec['max_attempts']) ?? 1),
    shares
  }
}

function decodeShares (spec: JsonObject): Share[] | undefined {
  const only = asNonEmptyString(spec['service'])
  if (only !== undefined) return [{ service: only, weight: 1 }]
  const split = spec['weighted_split']
  if (!Array.isArray(split)) return undefined
  const shares: Share[] = []
  for (const part of split as unknown[]) {
    const fields = asJsonObject(part)
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
    headerTimeoutMs: asNonNegativeNumber(spec['header_timeout_ms']) ?? defaultLimits.headerTimeoutMs,
    idleTimeoutMs: asNonNegativeNumber(spec['idle_timeout_ms']) ?? defaultLimits.idleTimeoutMs
  }
}
