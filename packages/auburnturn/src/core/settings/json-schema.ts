import { z } from 'zod'
import type { KeyPath } from './types.js'

/** The part of a JSON schema that says what is allowed at one place. */
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

/** The JSON schema of what a person may write, for editors. */
export function exportSchema (schema: z.ZodType): Record<string, unknown> {
  return z.toJSONSchema(schema, { io: 'input', unrepresentable: 'any' }) as Record<string, unknown>
}

/** Says in words what `schema` allows at `path`; empty when it allows nothing there. */
export function describeAllowed (schema: z.ZodType, path: KeyPath): string {
  const shape = findSubschema(schema, path)
  return shape === undefined ? '' : describeSubschema(shape)
}

/** The keys that `schema` allows in the object at `path`. */
export function listAllowedKeys (schema: z.ZodType, path: KeyPath): readonly string[] {
  return Object.keys(findSubschema(schema, path)?.properties ?? {})
}

function findSubschema (schema: z.ZodType, path: KeyPath): JsonSchema | undefined {
  let shape: JsonSchema | undefined = getJsonSchema(schema)
  for (const key of path) {
    shape = typeof key === 'number' ? shape?.items : shape?.properties?.[key]
  }
  return shape
}

function getJsonSchema (schema: z.ZodType): JsonSchema {
  const known = cachedSchemas.get(schema)
  if (known !== undefined) return known
  const fresh = exportSchema(schema) as JsonSchema
  cachedSchemas.set(schema, fresh)
  return fresh
}

function describeSubschema (shape: JsonSchema): string {
  if (shape.enum !== undefined) return shape.enum.map(value => JSON.stringify(value)).join(', ')
  switch (shape.type) {
    case 'integer': return `a whole number${describeRange(shape)}`
    case 'number': return `a number${describeRange(shape)}`
    case 'string': return `text in double quotes${describeLength(shape.minLength, shape.maxLength, 'characters')}`
    case 'boolean': return 'true or false'
    case 'array': return `a list in [ ]${describeLength(shape.minItems, shape.maxItems, 'entries')}`
    case 'object': return `an object in { } with the keys ${Object.keys(shape.properties ?? {}).join(', ')}`
    default: return ''
  }
}

function describeRange ({ minimum, maximum }: JsonSchema): string {
  if (minimum !== undefined && maximum !== undefined) return ` from ${minimum} to ${maximum}`
  if (minimum !== undefined) return ` of at least ${minimum}`
  return maximum === undefined ? '' : ` of at most ${maximum}`
}

function describeLength (least: number | undefined, most: number | undefined, unit: string): string {
  if (least !== undefined && most !== undefined) return ` of ${least} to ${most} ${unit}`
  if (least !== undefined) return ` of at least ${least} ${unit}`
  return most === undefined ? '' : ` of at most ${most} ${unit}`
}
