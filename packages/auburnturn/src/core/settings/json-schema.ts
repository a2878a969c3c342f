import { z } from 'zod'
import type { KeyPath } from './types.js'

/** The keywords of a JSON schema that describe the allowed values at one position. */
interface JsonSchema {
  readonly type?: string
  readonly enum?: readonly unknown[]
  readonly minimum?: number
  readonly maximum?: number
  readonly minLength?: number
  readonly maxLength?: number
  readonly minItems?: number
  readonly maxItems?: number
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly required?: readonly string[]
  readonly items?: JsonSchema
}

const cachedSchemas = new WeakMap<z.ZodType, JsonSchema>()

/** Returns the JSON schema of the input that `schema` accepts, for editors. */
export function exportSchema (schema: z.ZodType): Record<string, unknown> {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as Record<string, unknown>
}

/** Describes in words what `schema` allows at `path`; returns an empty string if it allows nothing there. */
export function describeAllowed (schema: z.ZodType, path: KeyPath): string {
  const subschema = findSubschema(schema, path)
  return subschema === undefined ? '' : describeSubschema(subschema)
}

/** Lists the keys that `schema` allows in the object at `path`. */
export function listAllowedKeys (schema: z.ZodType, path: KeyPath): readonly string[] {
  return Object.keys(findSubschema(schema, path)?.properties ?? {})
}

function findSubschema (schema: z.ZodType, path: KeyPath): JsonSchema | undefined {
  let subschema: JsonSchema | undefined = getJsonSchema(schema)
  for (const key of path) {
    subschema = typeof key === 'number' ? subschema?.items : subschema?.properties?.[key]
  }
  return subschema
}

function getJsonSchema (schema: z.ZodType): JsonSchema {
  const cached = cachedSchemas.get(schema)
  if (cached !== undefined) return cached
  const exported = exportSchema(schema) as JsonSchema
  cachedSchemas.set(schema, exported)
  return exported
}

function describeSubschema (subschema: JsonSchema): string {
  if (subschema.enum !== undefined) return subschema.enum.map(value => JSON.stringify(value)).join(', ')
  switch (subschema.type) {
    case 'integer': return `a whole number${describeRange(subschema)}`
    case 'number': return `a number${describeRange(subschema)}`
    case 'string': return `text in double quotes${describeLength(subschema.minLength, subschema.maxLength, 'characters')}`
    case 'boolean': return 'true or false'
    case 'array': return `a list in [ ]${describeLength(subschema.minItems, subschema.maxItems, 'entries')}`
    case 'object': return `an object in { } with the keys ${Object.keys(subschema.properties ?? {}).join(', ')}`
    default: return ''
  }
}

function describeRange ({ minimum, maximum }: JsonSchema): string {
  if (minimum !== undefined && maximum !== undefined) return ` from ${minimum} to ${maximum}`
  if (minimum !== undefined) return ` of at least ${minimum}`
  return maximum === undefined ? '' : ` of at most ${maximum}`
}

function describeLength (min: number | undefined, max: number | undefined, unit: string): string {
  if (min !== undefined && max !== undefined) return ` of ${min} to ${max} ${unit}`
  if (min !== undefined) return ` of at least ${min} ${unit}`
  return max === undefined ? '' : ` of at most ${max} ${unit}`
}
